//! The one preset in force: versions, acceptance and distribution.
