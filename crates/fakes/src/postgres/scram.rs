//! The server's side of SCRAM-SHA-256 (RFC 5802, 7677), without channel binding.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};
use std::io;

/// Number of PBKDF2 iterations: the minimum that RFC 7677 recommends.
const ITERATIONS: u32 = 4096;
const SALT: &[u8] = b"gaugestand-salt!";

/// State of one authentication exchange, from the client's first message on.
pub(super) struct ScramServer {
    client_first_bare: Vec<u8>,
    server_first: String,
}

impl ScramServer {
    /// Reads the client's first message; returns `None` if it is malformed.
    pub(super) fn new(client_first: &[u8]) -> Option<Self> {
        let client_first_bare = after(client_first, b"n,,")?.to_vec();
        let client_nonce = after(&client_first_bare, b",r=").unwrap_or_default();
        let nonce = format!("{}standin", String::from_utf8_lossy(client_nonce));
        let server_first = format!("r={nonce},s={},i={ITERATIONS}", STANDARD.encode(SALT));
        Some(ScramServer { client_first_bare, server_first })
    }

    /// The server's first message: the combined nonce, the salt and the number of iterations.
    pub(super) fn server_first(&self) -> &[u8] {
        self.server_first.as_bytes()
    }

    /// Returns the server's final message, or `None` if the client's final message does not prove that the
    /// client knows the password.
    pub(super) fn server_final(&self, password: &[u8], client_final: &[u8]) -> io::Result<Option<String>> {
        let at = find(client_final, b",p=").unwrap_or(client_final.len());
        let without_proof = &client_final[..at];
        let proof = STANDARD.decode(client_final.get(at + 3..).unwrap_or_default()).unwrap_or_default();
        let mut salted_password = [0; 32];
        pbkdf2::pbkdf2_hmac::<Sha256>(password, SALT, ITERATIONS, &mut salted_password);
        let client_key = hmac(&salted_password, b"Client Key")?;
        let stored_key = Sha256::digest(&client_key);
        let auth_message = [&self.client_first_bare, self.server_first(), without_proof].join(&b","[..]);
        let client_signature = hmac(&stored_key, &auth_message)?;
        let proven_key: Vec<u8> = proof.iter().zip(&client_signature).map(|(a, b)| a ^ b).collect();
        if proven_key != client_key {
            return Ok(None);
        }
        let server_key = hmac(&salted_password, b"Server Key")?;
        let server_signature = hmac(&server_key, &auth_message)?;
        Ok(Some(format!("v={}", STANDARD.encode(server_signature))))
    }
}

fn find(bytes: &[u8], pattern: &[u8; 3]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// Returns the bytes after the first occurrence of `pattern`.
fn after<'a>(bytes: &'a [u8], pattern: &[u8; 3]) -> Option<&'a [u8]> {
    find(bytes, pattern).map(|at| &bytes[at + pattern.len()..])
}

fn hmac(key: &[u8], message: &[u8]) -> io::Result<Vec<u8>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).map_err(io::Error::other)?;
    mac.update(message);
    Ok(mac.finalize().into_bytes().to_vec())
}
