//! The reducer of one entry host: every event goes in, effects come out as data.
