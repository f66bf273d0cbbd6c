//! Encodes parameters and decodes rows in the binary format of PostgreSQL's protocol.

use super::sql::Statement;
use super::unreadable;
use crate::error::SessionError;
use crate::row::{Row, RowState};
use bytes::BytesMut;
use gaugestand_admission::time::UnixTime;
use postgres_protocol::IsNull;
use postgres_protocol::message::frontend;

/// Code of the binary format, which all parameters and all columns of results use.
const BINARY: i16 = 1;
/// Value of a row limit that means no limit on the number of rows in a result.
const ALL_ROWS: i32 = 0;

/// One parameter of a statement.
pub(super) enum Param<'a> {
    Text(&'a str),
    Bytes(&'a [u8]),
    Null,
    Int8(i64),
    Int2(i16),
}

/// Appends to the output the messages that execute a prepared statement.
pub(super) fn write_call(
    statement: Statement,
    params: &[Param<'_>],
    output: &mut BytesMut,
) -> Result<(), SessionError> {
    frontend::bind("", statement.name(), [BINARY], params, write_param, [BINARY], output)
        .map_err(|_| SessionError::Unsendable)?;
    frontend::execute("", ALL_ROWS, output).map_err(unreadable)
}

fn write_param(
    param: &Param<'_>,
    output: &mut BytesMut,
) -> Result<IsNull, Box<dyn std::error::Error + std::marker::Sync + Send>> {
    match param {
        Param::Text(text) => output.extend_from_slice(text.as_bytes()),
        Param::Bytes(bytes) => output.extend_from_slice(bytes),
        Param::Int8(number) => output.extend_from_slice(&number.to_be_bytes()),
        Param::Int2(number) => output.extend_from_slice(&number.to_be_bytes()),
        Param::Null => return Ok(IsNull::Yes),
    }
    Ok(IsNull::No)
}

pub(super) fn decode_int8(bytes: &[u8]) -> Option<i64> {
    Some(i64::from_be_bytes(bytes.try_into().ok()?))
}

/// Decodes a row of the table `gaugestand_record`.
pub(super) fn decode_row(columns: &[Option<&[u8]>]) -> Result<Row, SessionError> {
    let [
        Some(key),
        Some(holder),
        Some(fingerprint),
        Some(ran),
        Some(until),
        Some(stamp),
        Some(state),
        result,
    ] = columns
    else {
        return Err(SessionError::MalformedRow);
    };
    let uint16 = |bytes: &[u8]| Some(u128::from_be_bytes(bytes.try_into().ok()?));
    let uint8 = |bytes: &[u8]| decode_int8(bytes).map(|number| number as u64);
    let row = || {
        let code = i16::from_be_bytes((*state).try_into().ok()?);
        Some(Row {
            key: String::from_utf8(key.to_vec()).ok()?,
            holder: uint16(holder)?,
            fingerprint: uint16(fingerprint)?,
            ingress: UnixTime(uint8(ran)?),
            expires: UnixTime(uint8(until)?),
            sequence: uint8(stamp)?,
            state: RowState::from_code(code.into(), result.map(<[u8]>::to_vec))?,
        })
    };
    row().ok_or(SessionError::MalformedRow)
}
