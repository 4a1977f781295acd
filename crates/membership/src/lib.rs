//! Which hosts are alive, suspected or leaving, and what they tell each other.
