//! Models of what is outside a node, from the protocol's pages: each takes time and bytes, and gives bytes.

pub mod downstream;
pub mod fastcgi;
pub mod gateway;
pub mod kernel;
