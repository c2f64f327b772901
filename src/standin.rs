//! Stand-ins of a model engine and of a plain service, for tests, tours and load programs.
