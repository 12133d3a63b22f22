//! Positions of the entries of a JSON document in its text, for messages to operators.

use std::ops::Range;

use serde_json::Value;
use smol_str::SmolStr;

use crate::collections::HashMap;

/// Largest number of characters of an entry that a quote shows.
const MAX_QUOTE_CHARS: usize = 160;

value_type! {
    /// Position in a text, and the beginning of the entry there.
    pub struct JsonPosition {
        /// Line, counted from 1.
        pub line: usize,
        /// Column in bytes, counted from 1.
        pub column: usize,
        /// The entry on one line, cut off if it is long.
        pub quote: String,
    }
}

/// Positions of the fields of a document, and of the elements of those fields that are arrays.
#[derive(Clone, Debug, Default)]
pub struct JsonPositions<'a> {
    text: &'a str,
    /// Offsets of the starts of the lines.
    lines: Vec<usize>,
    fields: HashMap<SmolStr, Field>,
}

#[derive(Clone, Debug, Default)]
struct Field {
    value: Range<usize>,
    elements: Vec<Range<usize>>,
}

impl<'a> JsonPositions<'a> {
    /// Finds the positions in a text. Only a text that is valid JSON gives useful positions.
    pub fn new(text: &'a str) -> Self {
        let ends = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let lines = [0].into_iter().chain(ends.map(|(at, _)| at + 1)).collect();
        let mut scanner = Scanner { bytes: text.as_bytes(), at: 0 };
        Self { text, lines, fields: scanner.document(text) }
    }

    /// Returns the position of a field of the document; `None` if it has no such field.
    pub fn field(&self, field: &str) -> Option<JsonPosition> {
        self.fields.get(field).map(|field| self.position(&field.value))
    }

    /// Returns the position of an element of a field; `None` if the field has no such element.
    pub fn element(&self, field: &str, index: usize) -> Option<JsonPosition> {
        let element = self.fields.get(field)?.elements.get(index)?;
        Some(self.position(element))
    }

    /// Returns the line and the column of an offset, counted from 1.
    fn line_and_column(&self, at: usize) -> (usize, usize) {
        let line = self.lines.partition_point(|start| *start <= at);
        (line, at - self.lines[line - 1] + 1)
    }

    fn position(&self, range: &Range<usize>) -> JsonPosition {
        let (line, column) = self.line_and_column(range.start);
        let entry = self.text.get(range.clone()).unwrap_or_default();
        JsonPosition { line, column, quote: quote(entry) }
    }
}

/// Returns an entry on one line, cut off after [`MAX_QUOTE_CHARS`].
fn quote(entry: &str) -> String {
    let mut quote = String::new();
    for (count, word) in entry.split_whitespace().enumerate() {
        if count > 0 {
            quote.push(' ');
        }
        quote.push_str(word);
        if quote.len() > MAX_QUOTE_CHARS {
            break;
        }
    }
    match quote.char_indices().nth(MAX_QUOTE_CHARS) {
        Some((end, _)) => format!("{}…", &quote[..end]),
        None => quote,
    }
}

struct Scanner<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Scanner<'_> {
    /// Scans the object that the text consists of. Of fields with the same name, the last one
    /// counts, as it does for the parser.
    fn document(&mut self, text: &str) -> HashMap<SmolStr, Field> {
        let mut fields = HashMap::default();
        if !self.enter(b'{') {
            return fields;
        }
        while self.peek() == Some(b'"') {
            let key = self.skip_value();
            self.enter(b':');
            self.peek();
            let start = self.at;
            let elements = self.elements();
            self.skip_value();
            let value = start..self.at;
            if let Ok(Value::String(key)) = serde_json::from_str(text.get(key).unwrap_or_default())
            {
                fields.insert(key.into(), Field { value, elements });
            }
            if !self.enter(b',') {
                break;
            }
        }
        fields
    }

    /// Moves past the array that begins here, and returns the ranges of its elements; none if there
    /// is no array.
    fn elements(&mut self) -> Vec<Range<usize>> {
        let mut elements = Vec::new();
        if !self.enter(b'[') {
            return elements;
        }
        while self.peek().is_some_and(|byte| byte != b']') {
            elements.push(self.skip_value());
            if !self.enter(b',') {
                break;
            }
        }
        self.enter(b']');
        elements
    }

    /// Returns the next byte that is no white space.
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    /// Moves past `byte` if it is next, and returns whether it was.
    fn enter(&mut self, byte: u8) -> bool {
        let is_next = self.peek() == Some(byte);
        self.at += usize::from(is_next);
        is_next
    }

    /// Moves past the next value, and returns its range.
    fn skip_value(&mut self) -> Range<usize> {
        self.peek();
        let start = self.at;
        let mut depth = 0_usize;
        while let Some(byte) = self.bytes.get(self.at) {
            match byte {
                b'"' => self.skip_string(),
                b'{' | b'[' => depth += 1,
                b'}' | b']' if depth == 0 => break,
                b'}' | b']' => depth -= 1,
                b',' | b':' if depth == 0 => break,
                _ => {}
            }
            self.at += 1;
        }
        start..self.at.min(self.bytes.len())
    }

    /// Moves to the quotation mark that ends the string which begins here.
    fn skip_string(&mut self) {
        self.at += 1;
        while let Some(byte) = self.bytes.get(self.at) {
            match byte {
                b'"' => return,
                b'\\' => self.at += 2,
                _ => self.at += 1,
            }
        }
    }
}
