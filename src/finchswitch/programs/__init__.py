"""The programs: thin, over a library for each plane."""
