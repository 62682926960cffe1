"""Command line entry point: `python -m seampond`."""

from seampond.operators.main import main

if __name__ == '__main__':
    main()
