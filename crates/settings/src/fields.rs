//! Builtins as tables of fields: the name, type and range of each field, and the checks and hints made from
//! them.

use crate::error::CallError;
use starlark::collections::SmallMap;
use starlark::values::Value;
use starlark::values::list::ListRef;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The type of a field and the range of its values.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FieldType {
    /// One of the listed words.
    Word(&'static [&'static str]),
    /// A text that is not empty and has no NUL character.
    Text,
    /// An IP address and a port, as a text.
    Address,
    /// A whole number from the first value to the second, both included.
    Int(u64, u64),
    /// A list of at most this many texts, none of them empty.
    Texts(usize),
}

/// A field of a builtin: a named argument, with its type.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Field {
    pub(crate) name: &'static str,
    pub(crate) field_type: FieldType,
}

/// A function that a script can call to make one setting, with the fields that it takes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Builtin {
    pub(crate) name: &'static str,
    pub(crate) fields: &'static [Field],
}

/// The checked arguments of one call of a builtin, by the name of the field.
#[derive(Debug, Default)]
pub(crate) struct Values {
    builtin: &'static str,
    texts: BTreeMap<&'static str, String>,
    ints: BTreeMap<&'static str, u64>,
    lists: BTreeMap<&'static str, Vec<String>>,
}

impl Values {
    /// Value of a field that holds a text, word or address; `None` if the call leaves the field out.
    pub(crate) fn text(&self, name: &str) -> Option<&str> {
        self.texts.get(name).map(String::as_str)
    }

    /// Value of a field that holds a text, word or address; an error if the call leaves the field out.
    pub(crate) fn required_text(&self, name: &str) -> Result<&str, CallError> {
        self.text(name).ok_or_else(|| self.missing(name, "\"...\""))
    }

    /// Value of a field that holds a number; `None` if the call leaves the field out.
    pub(crate) fn int(&self, name: &str) -> Option<u64> {
        self.ints.get(name).copied()
    }

    /// Value of a field that holds a list; an error if the call leaves the field out.
    pub(crate) fn required_list(&self, name: &str) -> Result<&[String], CallError> {
        let list = self.lists.get(name).map(Vec::as_slice);
        list.ok_or_else(|| self.missing(name, "[\"...\"]"))
    }

    /// Whether the call gives this field.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.texts.contains_key(name) || self.ints.contains_key(name) || self.lists.contains_key(name)
    }

    fn missing(&self, name: &str, example: &'static str) -> CallError {
        CallError::MissingField { builtin: self.builtin, field: name.to_string(), example }
    }
}

/// Hint for an unknown name: the known name that is similar to it, or else all known names.
pub(crate) fn hint(name: &str, names: impl Iterator<Item = &'static str> + Clone) -> String {
    let nearest = names.clone().map(|known| (strsim::damerau_levenshtein(known, name), known)).min();
    match nearest {
        Some((distance, known)) if distance <= 2.max(known.len() / 3) => format!("did you mean `{known}`?"),
        _ => format!("known names: {}", names.collect::<Vec<_>>().join(", ")),
    }
}

/// Why a value does not fit its field, and as a hint what is expected.
struct Mismatch {
    problem: String,
    hint: String,
}

impl Mismatch {
    fn new(problem: impl Into<String>, hint: impl Into<String>) -> Self {
        Mismatch { problem: problem.into(), hint: hint.into() }
    }
}

impl Builtin {
    /// Checks the arguments of a call against the fields of this builtin.
    pub(crate) fn check(&self, arguments: &SmallMap<String, Value>) -> Result<Values, CallError> {
        let mut values = Values { builtin: self.name, ..Values::default() };
        for (name, value) in arguments {
            let Some(field) = self.fields.iter().find(|field| field.name == name) else {
                let hint = hint(name, self.fields.iter().map(|field| field.name));
                return Err(CallError::UnknownField { builtin: self.name, field: name.clone(), hint });
            };
            values.add(field, *value).map_err(|mismatch| CallError::BadField {
                builtin: self.name,
                field: name.clone(),
                problem: mismatch.problem,
                hint: mismatch.hint,
            })?;
        }
        Ok(values)
    }
}

impl Values {
    fn add(&mut self, field: &Field, value: Value) -> Result<(), Mismatch> {
        match field.field_type {
            FieldType::Int(min, max) => {
                self.ints.insert(field.name, int_in_range(value, min, max)?);
            }
            FieldType::Word(words) => {
                self.texts.insert(field.name, one_of(value, words)?);
            }
            FieldType::Texts(max) => {
                self.lists.insert(field.name, list_of_texts(value, max)?);
            }
            FieldType::Text => {
                self.texts.insert(
                    field.name,
                    text(value, "expected a text that is not empty and has no NUL character", |_| true)?,
                );
            }
            FieldType::Address => {
                let hint = "expected an address and a port, as in \"10.0.0.7:5432\"";
                let is_address = |text: &str| text.parse::<SocketAddr>().is_ok();
                self.texts.insert(field.name, text(value, hint, is_address)?);
            }
        }
        Ok(())
    }
}

fn wrong_type(value: Value, hint: &str) -> Mismatch {
    Mismatch::new(format!("is of type {}", value.get_type()), hint)
}

fn int_in_range(value: Value, min: u64, max: u64) -> Result<u64, Mismatch> {
    let hint = format!("expected a whole number from {min} to {max}");
    let number = value.unpack_i32().ok_or_else(|| wrong_type(value, &hint))?;
    let number = u64::try_from(number).ok().filter(|number| (min..=max).contains(number));
    number.ok_or_else(|| Mismatch::new("is out of range", hint))
}

fn one_of(value: Value, words: &[&str]) -> Result<String, Mismatch> {
    let quoted: Vec<String> = words.iter().map(|word| format!("\"{word}\"")).collect();
    let hint = format!("expected one of {}", quoted.join(", "));
    let text = value.unpack_str().ok_or_else(|| wrong_type(value, &hint))?;
    if !words.contains(&text) {
        return Err(Mismatch::new(format!("is \"{text}\""), hint));
    }
    Ok(text.to_string())
}

fn list_of_texts(value: Value, max: usize) -> Result<Vec<String>, Mismatch> {
    let hint = format!("expected a list of texts that are not empty, {max} at most");
    let items = ListRef::from_value(value).ok_or_else(|| wrong_type(value, &hint))?;
    let text = |item: &Value| item.unpack_str().filter(|text| !text.is_empty()).map(String::from);
    let texts: Option<Vec<String>> = items.iter().map(|item| text(&item)).collect();
    texts
        .filter(|texts| texts.len() <= max)
        .ok_or_else(|| Mismatch::new("is too long or has an item that is empty or not a text", hint))
}

fn text(value: Value, hint: &str, is_valid: impl Fn(&str) -> bool) -> Result<String, Mismatch> {
    let text = value.unpack_str().ok_or_else(|| wrong_type(value, hint))?;
    if text.is_empty() || text.contains('\0') || !is_valid(text) {
        return Err(Mismatch::new(format!("is \"{}\"", text.escape_default()), hint));
    }
    Ok(text.to_string())
}
