//! The statements, as they are sent. Their texts, and the names of tables and columns, are shared with other versions of
//! this program that use the same database.

/// The version of the tables that there are.
pub const READ_VERSION: &str = "SELECT version FROM gaugestand_schema";
/// Makes the tables; two nodes that start at once wait for each other.
pub const CREATE_TABLES: &str = "\
SELECT pg_advisory_xact_lock(1735619684);
CREATE TABLE IF NOT EXISTS gaugestand_schema(version int NOT NULL);
INSERT INTO gaugestand_schema SELECT 1 WHERE NOT EXISTS (SELECT 1 FROM gaugestand_schema);
CREATE TABLE IF NOT EXISTS gaugestand_node(node text PRIMARY KEY, epoch bigint NOT NULL, beat bigint NOT NULL);
CREATE TABLE IF NOT EXISTS gaugestand_record(
    node text, key text, holder bytea NOT NULL, print bytea NOT NULL, ran bigint NOT NULL, until bigint NOT NULL,
    stamp bigint NOT NULL, state smallint NOT NULL, result bytea, PRIMARY KEY(node, key));";
/// Takes a node's name with a new epoch: node.
pub const TAKE_NAME: &str = "INSERT INTO gaugestand_node VALUES($1, 1, 0) \
ON CONFLICT (node) DO UPDATE SET epoch = gaugestand_node.epoch + 1 RETURNING epoch";
/// One page of a node's rows: node, last key before the page, rows in it.
pub const LOAD_PAGE: &str = "SELECT key, holder, print, ran, until, stamp, state, result FROM gaugestand_record \
WHERE node = $1 AND key > $2 ORDER BY key LIMIT $3";
/// The fence of a batch: fails, by a division by zero, unless the name is still held in this epoch: node, epoch.
pub const FENCE: &str = "UPDATE gaugestand_node SET beat = beat + 1 / (CASE WHEN epoch = $2 THEN 1 ELSE 0 END) \
WHERE node = $1";
/// A row: node, key, holder, print, ran, until, stamp, state, result.
pub const PUT: &str = "INSERT INTO gaugestand_record VALUES($1, $2, $3, $4, $5, $6, $7, $8, $9) \
ON CONFLICT (node, key) DO UPDATE SET holder = excluded.holder, print = excluded.print, ran = excluded.ran, \
until = excluded.until, stamp = excluded.stamp, state = excluded.state, result = excluded.result \
WHERE excluded.stamp > gaugestand_record.stamp \
OR excluded.stamp = gaugestand_record.stamp AND gaugestand_record.state = 0";
/// Removes a row: node, key, the latest sequence number that goes.
pub const REMOVE: &str = "DELETE FROM gaugestand_record WHERE node = $1 AND key = $2 AND stamp <= $3";
/// The row of a key: node, key.
pub const LOOKUP: &str = "SELECT key, holder, print, ran, until, stamp, state, result FROM gaugestand_record \
WHERE node = $1 AND key = $2";
/// Removes rows past their window: node, now.
pub const PRUNE: &str = "DELETE FROM gaugestand_record WHERE node = $1 AND until <= $2";

/// A statement that is prepared at the start of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Statement {
    /// [`TAKE_NAME`]
    TakeName,
    /// [`LOAD_PAGE`]
    LoadPage,
    /// [`FENCE`]
    Fence,
    /// [`PUT`]
    Put,
    /// [`REMOVE`]
    Remove,
    /// [`LOOKUP`]
    Lookup,
    /// [`PRUNE`]
    Prune,
}

impl Statement {
    /// All of them, in the order in which they are prepared.
    pub const ALL: [Statement; 7] = [
        Statement::TakeName,
        Statement::LoadPage,
        Statement::Fence,
        Statement::Put,
        Statement::Remove,
        Statement::Lookup,
        Statement::Prune,
    ];

    /// Its name in the session, as it is sent.
    pub fn name(self) -> &'static str {
        match self {
            Statement::TakeName => "adopt",
            Statement::LoadPage => "load",
            Statement::Fence => "guard",
            Statement::Put => "put",
            Statement::Remove => "remove",
            Statement::Lookup => "ask",
            Statement::Prune => "prune",
        }
    }

    /// Its text.
    pub fn text(self) -> &'static str {
        match self {
            Statement::TakeName => TAKE_NAME,
            Statement::LoadPage => LOAD_PAGE,
            Statement::Fence => FENCE,
            Statement::Put => PUT,
            Statement::Remove => REMOVE,
            Statement::Lookup => LOOKUP,
            Statement::Prune => PRUNE,
        }
    }
}
