//! The SQL statements, as they are sent. Their texts and the names of tables and columns are shared with
//! other versions of this program that use the same database.

/// Reads the version of the existing tables.
pub const READ_VERSION: &str = "SELECT version FROM gaugestand_schema";
/// Creates the tables. An advisory lock makes nodes that start at the same time wait for each other.
pub const CREATE_TABLES: &str = "\
SELECT pg_advisory_xact_lock(1735619684);
CREATE TABLE IF NOT EXISTS gaugestand_schema(version int NOT NULL);
INSERT INTO gaugestand_schema SELECT 1 WHERE NOT EXISTS (SELECT 1 FROM gaugestand_schema);
CREATE TABLE IF NOT EXISTS gaugestand_node(node text PRIMARY KEY, epoch bigint NOT NULL, beat bigint NOT NULL);
CREATE TABLE IF NOT EXISTS gaugestand_record(
    node text, key text, holder bytea NOT NULL, print bytea NOT NULL, ran bigint NOT NULL, until bigint NOT NULL,
    stamp bigint NOT NULL, state smallint NOT NULL, result bytea, PRIMARY KEY(node, key));";
/// Takes a node's name with a new epoch. Parameter: node.
pub const TAKE_NAME: &str = "INSERT INTO gaugestand_node VALUES($1, 1, 0) \
ON CONFLICT (node) DO UPDATE SET epoch = gaugestand_node.epoch + 1 RETURNING epoch";
/// Reads one page of a node's rows. Parameters: node, last key before the page, number of rows in the page.
pub const LOAD_PAGE: &str = "SELECT key, holder, print, ran, until, stamp, state, result FROM gaugestand_record \
WHERE node = $1 AND key > $2 ORDER BY key LIMIT $3";
/// Fence, the first statement of each batch of writes: fails with a division by zero unless this epoch still
/// holds the node's name. Parameters: node, epoch.
pub const FENCE: &str = "UPDATE gaugestand_node SET beat = beat + 1 / (CASE WHEN epoch = $2 THEN 1 ELSE 0 END) \
WHERE node = $1";
/// Stores a row, unless the stored one has precedence. Parameters: node, key, holder, print, ran, until,
/// stamp, state, result.
pub const PUT: &str = "INSERT INTO gaugestand_record VALUES($1, $2, $3, $4, $5, $6, $7, $8, $9) \
ON CONFLICT (node, key) DO UPDATE SET holder = excluded.holder, print = excluded.print, ran = excluded.ran, \
until = excluded.until, stamp = excluded.stamp, state = excluded.state, result = excluded.result \
WHERE excluded.stamp > gaugestand_record.stamp \
OR excluded.stamp = gaugestand_record.stamp AND gaugestand_record.state = 0";
/// Removes a row. Parameters: node, key, greatest sequence number of a row that is removed.
pub const REMOVE: &str = "DELETE FROM gaugestand_record WHERE node = $1 AND key = $2 AND stamp <= $3";
/// Reads the row of a key. Parameters: node, key.
pub const LOOKUP: &str = "SELECT key, holder, print, ran, until, stamp, state, result FROM gaugestand_record \
WHERE node = $1 AND key = $2";
/// Removes rows whose window is over. Parameters: node, now in microseconds of Unix time.
pub const PRUNE: &str = "DELETE FROM gaugestand_record WHERE node = $1 AND until <= $2";

/// A statement that is prepared at the start of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Statement {
    /// The statement with the text [`TAKE_NAME`].
    TakeName,
    /// The statement with the text [`LOAD_PAGE`].
    LoadPage,
    /// The statement with the text [`FENCE`].
    Fence,
    /// The statement with the text [`PUT`].
    Put,
    /// The statement with the text [`REMOVE`].
    Remove,
    /// The statement with the text [`LOOKUP`].
    Lookup,
    /// The statement with the text [`PRUNE`].
    Prune,
}

impl Statement {
    /// All statements, in the order in which they are prepared.
    pub const ALL: [Statement; 7] = [
        Statement::TakeName,
        Statement::LoadPage,
        Statement::Fence,
        Statement::Put,
        Statement::Remove,
        Statement::Lookup,
        Statement::Prune,
    ];

    /// Name under which the session prepares and executes the statement on the server.
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

    /// SQL text of the statement.
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
