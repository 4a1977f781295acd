//! The actix shell of one entry host: sockets, timers and the effects of the reducer.
