"""The rehearsal: stand-ins for what lies outside, and the simulator that runs the same planes in virtual time."""
