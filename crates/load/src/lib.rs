//! Open-loop load generator with checked answers.
