//! Fake of the downstream tier: it replies to outbound calls after a random delay, and rejects some of them
//! as busy.

use crate::random::SimRng;
use gaugestand_admission::time::Micros;

/// Removes the complete calls from the input of one connection and returns the id and the body of each. An
/// incomplete call stays in the input.
pub fn calls(input: &mut Vec<u8>) -> Vec<(String, Vec<u8>)> {
    let mut calls = Vec::new();
    while let Some(end) = input.iter().position(|b| *b == b'\n') {
        let line = String::from_utf8_lossy(&input[..end]).trim_end().to_string();
        let words: Vec<&str> = line.split(' ').collect();
        let mut consumed = end + 1;
        if let ["CALL", id, _, len] = words[..] {
            let len: usize = len.parse().unwrap_or(0);
            if input.len() < consumed + len + 2 {
                break;
            }
            calls.push((id.to_string(), input[consumed..consumed + len].to_vec()));
            consumed += len + 2;
        }
        input.drain(..consumed);
    }
    calls
}

/// Draws the reply to a call, and the delay after which the downstream tier sends it. The reply to one call
/// in fifty is BUSY; otherwise it is the body of the call.
pub fn reply(rng: &mut SimRng, id: &str, body: &[u8]) -> (Micros, Vec<u8>) {
    let delay = Micros::millis(5).plus(rng.exponential(Micros::millis(20)));
    if rng.chance(0.02) {
        return (delay, format!("{id} BUSY\r\n").into_bytes());
    }
    let mut reply = format!("{id} OK {}\r\n", body.len()).into_bytes();
    reply.extend(body);
    reply.extend(b"\r\n");
    (delay, reply)
}
