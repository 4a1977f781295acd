//! Typed settings of one process, read from YAML and checked before anything starts.
