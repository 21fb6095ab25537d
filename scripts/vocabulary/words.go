package main

import (
	"fmt"
	"os"
	"strings"
	"unicode"
)

// withdrawn maps words that are not used any more to their replacements.
type withdrawn map[string]replacement

type replacement struct {
	instead   string
	namesOnly bool // the word is withdrawn in names only; in documentation it is plain English
}

// namesOnly is the suffix of words in the file that are withdrawn in names only.
const namesOnly = ", in names"

func readWords(path string) (withdrawn, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parseWords(path, string(text))
}

func parseWords(path, text string) (withdrawn, error) {
	words := withdrawn{}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		word, instead, ok := strings.Cut(line, ":")
		word, onlyNames := strings.CutSuffix(word, namesOnly)
		if !ok || strings.TrimSpace(instead) == "" || strings.Join(split(word), "") != word {
			return nil, fmt.Errorf("%s:%d: %q: expected a word in lower case, a colon and its replacement", path, i+1, line)
		}
		words[word] = replacement{strings.TrimSpace(instead), onlyNames}
	}
	return words, nil
}

// inName returns the first withdrawn word in a name, or "".
func (w withdrawn) inName(name string) string {
	return w.in(name, func(replacement) bool { return true })
}

// inText returns the first withdrawn word in a documentation text, or "".
func (w withdrawn) inText(text string) string {
	return w.in(text, func(r replacement) bool { return !r.namesOnly })
}

func (w withdrawn) in(text string, counts func(replacement) bool) string {
	for _, part := range split(text) {
		for _, form := range []string{part, strings.TrimSuffix(part, "s"), strings.TrimSuffix(part, "ies") + "y"} {
			if r, ok := w[form]; ok && counts(r) {
				return form
			}
		}
	}
	return ""
}

// split splits a name or a text into words in lower case, at capitals and at characters that are
// not letters. A sequence of capitals is one word: HTTPAddr is http and addr.
func split(name string) (parts []string) {
	runes := []rune(name)
	start := 0
	end := func(i int) {
		if i > start {
			parts = append(parts, strings.ToLower(string(runes[start:i])))
		}
	}
	for i, r := range runes {
		switch {
		case !unicode.IsLetter(r):
			end(i)
			start = i + 1
		case unicode.IsUpper(r) && i > start && (!unicode.IsUpper(runes[i-1]) || i+1 < len(runes) && unicode.IsLower(runes[i+1])):
			end(i)
			start = i
		}
	}
	end(len(runes))
	return parts
}
