//! Evaluation of a settings script within limits of steps, memory and call depth, with one-line errors.

use crate::builtins::{BUILTINS, builtins, take_settings};
use crate::error::SettingsError;
use crate::fields;
use crate::settings::Settings;
use starlark::environment::{Globals, GlobalsBuilder, Module};
use starlark::eval::Evaluator;
use starlark::syntax::{AstModule, Dialect};
use std::path::Path;

/// Maximum size of a script, in bytes: far more than all settings take.
const MAX_SCRIPT_BYTES: u64 = 64 * 1024;
/// Maximum number of steps (calls and iterations of loops) that a script may take: a script that does not end
/// is reported as an error when the node starts.
const MAX_STEPS: u64 = 200_000;
/// Maximum memory on the heap of the interpreter, in bytes: a small part of the 32 MB that the smallest node
/// has in total.
const MAX_HEAP_BYTES: usize = 4 << 20;
/// Maximum depth of nested calls in a script, so that endless recursion is an error instead of a stack
/// overflow.
const MAX_CALL_DEPTH: usize = 50;

/// Reads the settings script at `path` and evaluates it.
///
/// # Errors
/// The file cannot be read or is too long, or the script is rejected.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let name = path.display().to_string();
    let unreadable = |source| SettingsError::Unreadable { path: name.clone(), source };
    let size = std::fs::metadata(path).map_err(unreadable)?.len();
    if size > MAX_SCRIPT_BYTES {
        return Err(SettingsError::TooLong { path: name, limit: MAX_SCRIPT_BYTES });
    }
    let text = std::fs::read_to_string(path).map_err(unreadable)?;
    evaluate(&name, text)
}

/// Evaluates the settings script `text`; errors give `name` as the name of its file. The memory of the
/// interpreter is freed when this function returns.
///
/// # Errors
/// The script does not evaluate, or a value that it sets is not valid.
pub fn evaluate(name: &str, text: String) -> Result<Settings, SettingsError> {
    take_settings();
    run(name, text).map_err(|error| {
        let place = match error.span().map(|span| span.resolve_span().begin) {
            Some(begin) => format!("{name}:{}:{}", begin.line + 1, begin.column + 1),
            None => name.to_string(),
        };
        SettingsError::Script {
            place,
            fault: with_hint(&one_line(&format!("{:#}", error.without_diagnostic()))),
        }
    })?;
    Ok(take_settings())
}

fn run(name: &str, text: String) -> starlark::Result<()> {
    let dialect = Dialect { enable_load: false, enable_f_strings: true, ..Dialect::Standard };
    let ast = AstModule::parse(name, text, &dialect)?;
    let globals: Globals = GlobalsBuilder::standard().with(builtins).build();
    Module::with_temp_heap(|module| {
        let mut evaluator = Evaluator::new(&module);
        evaluator.set_max_tick_count(MAX_STEPS).map_err(starlark::Error::new_other)?;
        evaluator.set_max_heap_size(MAX_HEAP_BYTES).map_err(starlark::Error::new_other)?;
        evaluator.set_max_callstack_size(MAX_CALL_DEPTH).map_err(starlark::Error::new_other)?;
        evaluator.eval_module(ast, &globals)?;
        Ok(())
    })
}

/// Joins the lines of the interpreter's message: an error takes one line in the operators' logs.
fn one_line(message: &str) -> String {
    let lines = message.lines().map(str::trim).filter(|line| !line.is_empty());
    lines.collect::<Vec<_>>().join(" ")
}

/// Adds a hint to a message of the interpreter. The interpreter's message alone does not tell an operator how
/// to correct a call.
fn with_hint(fault: &str) -> String {
    if let Some(rest) = fault.strip_prefix("Variable `") {
        let name = rest.split('`').next().unwrap_or_default();
        let names = BUILTINS.iter().map(|builtin| builtin.name);
        return format!("`{name}` is not a setting; {}", fields::hint(name, names));
    }
    let contains_any = |words: &[&str]| words.iter().any(|word| fault.contains(word));
    if contains_any(&["positional", "Wrong number of arguments"]) {
        return format!("{fault}; fields are given by name, as in log(level = \"info\")");
    }
    if fault.starts_with("Parse error") || fault.contains("unexpected") {
        return format!("{fault}; the script is Starlark: name(field = value, ...), one call per setting");
    }
    if contains_any(&["tick count", "Tick", "heap", "stack"]) {
        return format!(
            "{fault}; a script may take {MAX_STEPS} steps, {MAX_HEAP_BYTES} bytes and {MAX_CALL_DEPTH} nested \
             calls: write values out instead of computing them"
        );
    }
    fault.to_string()
}
