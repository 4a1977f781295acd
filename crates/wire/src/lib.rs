//! Messages between hosts, their postcard encoding and their authentication.
