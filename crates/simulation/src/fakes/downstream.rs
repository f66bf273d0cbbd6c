//! The tier below: answers calls after a while, or turns them away.

use crate::random::SimRng;
use gaugestand_admission::time::Micros;

/// Calls read from one connection, and what is left of the input.
pub fn calls(input: &mut Vec<u8>) -> Vec<(String, Vec<u8>)> {
    let mut calls = Vec::new();
    while let Some(end) = input.iter().position(|b| *b == b'\n') {
        let line = String::from_utf8_lossy(&input[..end]).trim_end().to_string();
        let words: Vec<&str> = line.split(' ').collect();
        let mut used = end + 1;
        if let ["CALL", id, _, len] = words[..] {
            let len: usize = len.parse().unwrap_or(0);
            if input.len() < used + len + 2 {
                break;
            }
            calls.push((id.to_string(), input[used..used + len].to_vec()));
            used += len + 2;
        }
        input.drain(..used);
    }
    calls
}

/// What comes of a call, and when: mostly its body again.
pub fn reply(rng: &mut SimRng, id: &str, body: &[u8]) -> (Micros, Vec<u8>) {
    let after = Micros::millis(5).plus(rng.exponential(Micros::millis(20)));
    if rng.chance(0.02) {
        return (after, format!("{id} BUSY\r\n").into_bytes());
    }
    let mut reply = format!("{id} OK {}\r\n", body.len()).into_bytes();
    reply.extend(body);
    reply.extend(b"\r\n");
    (after, reply)
}
