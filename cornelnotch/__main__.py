"""Run the command line with ``python -m cornelnotch``."""

from cornelnotch.commands.program import run_program

if __name__ == "__main__":
    run_program()
