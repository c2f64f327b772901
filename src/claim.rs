//! Claims of calls that run at most once, decided in the plan's home region alone.
