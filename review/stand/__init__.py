"""Stand-ins shared by the cases: machines, runners, the platform's list, clients, the operator."""
