//! The start of a session: authentication, the tables, the node's name and the rows of earlier incarnations.
//!
//! The steps follow each other as the server answers: read the version, create the tables if there are none,
//! prepare the statements, take the name, read the rows. A session that continues with the epoch of an
//! earlier connection neither takes the name nor reads rows.

use super::codec::Param;
use super::sql::{self, Statement};
use super::{
    Event, PAGE_ROWS, SCHEMA_VERSION, ServerError, Session, SessionError, Step, login_error, unreadable,
};
use crate::error::StartStep;
use crate::row::Recovery;
use fallible_iterator::FallibleIterator;
use postgres_protocol::authentication::sasl::{ChannelBinding, SCRAM_SHA_256, ScramSha256};
use postgres_protocol::message::backend::{AuthenticationSaslBody, Message};
use postgres_protocol::message::frontend;
use std::mem;

/// Handling of the server's answers during the start.
impl Session {
    pub(super) fn on_authentication(&mut self, message: Message) -> Result<(), SessionError> {
        let step = mem::replace(&mut self.step, Step::AwaitingAuthentication);
        self.step = match (step, message) {
            (Step::AwaitingAuthentication, Message::AuthenticationOk) => Step::Authenticated,
            (Step::AwaitingAuthentication, Message::AuthenticationSasl(body)) => self.begin_scram(&body)?,
            (Step::ProvingPassword(mut scram), Message::AuthenticationSaslContinue(body)) => {
                scram.update(body.data()).map_err(login_error)?;
                frontend::sasl_response(scram.message(), &mut self.output).map_err(unreadable)?;
                Step::ProvingPassword(scram)
            }
            // Guards against a program that poses as the server: the server, too, has to prove that it knows
            // the password.
            (Step::ProvingPassword(mut scram), Message::AuthenticationSaslFinal(body)) => {
                scram.finish(body.data()).map_err(login_error)?;
                Step::Authenticated
            }
            (Step::Authenticated, Message::AuthenticationOk) => Step::Authenticated,
            (
                Step::AwaitingAuthentication,
                Message::AuthenticationMd5Password(_) | Message::AuthenticationCleartextPassword,
            ) => return Err(SessionError::WeakPassword),
            _ => return Err(SessionError::OutOfTurn),
        };
        Ok(())
    }

    pub(super) fn begin_scram(&mut self, body: &AuthenticationSaslBody) -> Result<Step, SessionError> {
        let mut mechanisms = body.mechanisms();
        let mut is_offered = false;
        while let Some(mechanism) = mechanisms.next().map_err(unreadable)? {
            is_offered |= mechanism == SCRAM_SHA_256;
        }
        if !is_offered {
            return Err(SessionError::NoScram);
        }
        let scram = ScramSha256::new(&self.login.password, ChannelBinding::unsupported());
        frontend::sasl_initial_response(SCRAM_SHA_256, scram.message(), &mut self.output)
            .map_err(unreadable)?;
        Ok(Step::ProvingPassword(Box::new(scram)))
    }

    pub(super) fn on_version(
        &mut self,
        version: Option<i32>,
        error: Option<ServerError>,
    ) -> Result<(), SessionError> {
        match (version, error) {
            (Some(SCHEMA_VERSION), _) => self.prepare(),
            (Some(version), _) => Err(SessionError::NewerTables { version, known: SCHEMA_VERSION }),
            (None, Some(error)) if error.is_undefined_table() && self.is_read_only => {
                Err(SessionError::NoTables)
            }
            (None, Some(error)) if error.is_undefined_table() => self.create_tables(),
            (None, Some(error)) => Err(SessionError::Refused { step: StartStep::ReadVersion, error }),
            (None, None) => Err(SessionError::NoVersion),
        }
    }

    pub(super) fn on_prepared(&mut self) -> Result<Option<Event>, SessionError> {
        if self.is_read_only {
            self.load_page(Recovery::default(), String::new())?;
        } else if self.epoch.is_some() {
            return Ok(Some(Event::Ready(None)));
        } else {
            self.take_name()?;
        }
        Ok(None)
    }

    pub(super) fn on_page(
        &mut self,
        recovery: Recovery,
        page_rows: usize,
        last_key: String,
    ) -> Result<Option<Event>, SessionError> {
        let has_too_many = recovery.row_count as usize > self.max_rows;
        if page_rows == PAGE_ROWS && !has_too_many {
            self.load_page(recovery, last_key)?;
            return Ok(None);
        }
        self.epoch = Some(recovery.epoch).filter(|_| !self.is_read_only);
        Ok(Some(Event::Ready(Some(recovery))))
    }
}

/// Converts the error that the server reported in this step of the start, if there is one, to a
/// [`SessionError`].
pub(super) fn refused(step: StartStep, error: Option<ServerError>) -> Result<(), SessionError> {
    error.map_or(Ok(()), |error| Err(SessionError::Refused { step, error }))
}

/// The steps of a session's start.
impl Session {
    pub(super) fn read_version(&mut self) -> Result<(), SessionError> {
        frontend::query(sql::READ_VERSION, &mut self.output).map_err(unreadable)?;
        self.step = Step::ReadingVersion(None);
        Ok(())
    }

    pub(super) fn create_tables(&mut self) -> Result<(), SessionError> {
        frontend::query(sql::CREATE_TABLES, &mut self.output).map_err(unreadable)?;
        self.step = Step::CreatingTables;
        Ok(())
    }

    pub(super) fn prepare(&mut self) -> Result<(), SessionError> {
        for statement in Statement::ALL {
            frontend::parse(statement.name(), statement.text(), [], &mut self.output).map_err(unreadable)?;
        }
        frontend::sync(&mut self.output);
        self.step = Step::Preparing;
        Ok(())
    }

    pub(super) fn take_name(&mut self) -> Result<(), SessionError> {
        let login = self.login.clone();
        self.call(Statement::TakeName, &[Param::Text(&login.node)])?;
        frontend::sync(&mut self.output);
        self.step = Step::TakingName(None);
        Ok(())
    }

    pub(super) fn load_page(&mut self, recovery: Recovery, last_key: String) -> Result<(), SessionError> {
        let login = self.login.clone();
        let params = [Param::Text(&login.node), Param::Text(&last_key), Param::Int8(PAGE_ROWS as i64)];
        self.call(Statement::LoadPage, &params)?;
        frontend::sync(&mut self.output);
        self.step = Step::Loading { recovery, page_rows: 0, last_key };
        Ok(())
    }
}
