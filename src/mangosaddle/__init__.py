"""Multi-region inference gateway for a co-operative that pools inference hardware."""

__version__ = "0.1.0"
