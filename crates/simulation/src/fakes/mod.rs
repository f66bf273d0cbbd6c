//! Fakes of the systems around a node, written from the specifications of the protocols. The kernel, the
//! downstream tier and FastCGI are models without sockets: they are given bytes, and the virtual time where
//! they need it, and return bytes. Only [`gateway`] uses real sockets.

pub mod downstream;
pub mod fastcgi;
pub mod gateway;
pub mod kernel;
