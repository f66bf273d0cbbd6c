//! Builds messages of a PostgreSQL server for tests.

/// A message with the given tag and body, and its length between them.
pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut message = vec![tag];
    message.extend((body.len() as u32 + 4).to_be_bytes());
    message.extend(body);
    message
}

/// A `DataRow` message with one column.
pub fn data_row(column: &[u8]) -> Vec<u8> {
    let mut body = 1u16.to_be_bytes().to_vec();
    body.extend((column.len() as u32).to_be_bytes());
    body.extend(column);
    message(b'D', &body)
}
