package document

import (
	"bytes"

	"github.com/tailscale/hujson"
)

// maxDepth bounds the nesting of a document. The parser is recursive: 600,000 nested arrays,
// which fit in 1 MiB, overflow the stack and crash the process.
const maxDepth = 64

// Parse parses JSON with comments and trailing commas. The error is a *FaultsError, which
// gives name as the file.
func Parse(name string, text []byte) (hujson.Value, error) {
	if offset := excessDepthOffset(text); offset >= 0 {
		s := Source{name: name, text: text}
		s.addFault([]string{syntaxField}, offset, "", "at most 64 nested objects and arrays")
		return hujson.Value{}, s.Err()
	}
	root, err := hujson.Parse(text)
	if err != nil {
		line, column := syntaxPosition(err)
		return root, &FaultsError{[]Fault{{
			File: name, Line: line, Column: column, Field: syntaxField, Value: syntaxText(err),
			Allowed: "JSON, with comments and trailing commas",
		}}}
	}
	return root, nil
}

// syntaxField is the field of a syntax fault.
const syntaxField = "(syntax)"

// excessDepthOffset returns the offset of the first bracket that is nested deeper than
// maxDepth, or -1.
func excessDepthOffset(text []byte) int {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '{', '[':
			if depth++; depth > maxDepth {
				return i
			}
		case '}', ']':
			depth--
		case '"':
			i = skipString(text, i)
		case '/':
			i = skipComment(text, i)
		}
	}
	return -1
}

// skipString returns the offset of the closing quote of the string that starts at i.
func skipString(text []byte, i int) int {
	for i++; i < len(text) && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment that starts at i.
func skipComment(text []byte, i int) int {
	var end string
	switch {
	case bytes.HasPrefix(text[i:], []byte("//")):
		end = "\n"
	case bytes.HasPrefix(text[i:], []byte("/*")):
		end = "*/"
	default:
		return i
	}
	n := bytes.Index(text[i+2:], []byte(end))
	if n < 0 {
		return len(text)
	}
	return i + 2 + n + len(end) - 1
}
