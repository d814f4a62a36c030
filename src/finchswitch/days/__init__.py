"""Days for tests: reads the kinds of trouble that a deployment's test bench lists, and writes days made of them."""
