//! The program itself on loopback sockets, between clients and servers that each test plays by hand and small
//! stand-ins for the counter and discovery. Waits have a bound only so that a failure ends.

mod crossings;
mod members;
mod spoken;
mod stage;
