package main

import (
	"fmt"
	"os"
	"strings"
	"unicode"
)

// withdrawn maps a word to what takes its place.
type withdrawn map[string]replacement

type replacement struct {
	instead   string
	namesOnly bool // in documentation it is plain English
}

// namesOnly follows a word in the file.
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
			return nil, fmt.Errorf("%s:%d: %q is not a word in small letters, a colon and what to write instead", path, i+1, line)
		}
		words[word] = replacement{strings.TrimSpace(instead), onlyNames}
	}
	return words, nil
}

// inName returns the withdrawn word that a name has, or "". Parts are those of split.
func (w withdrawn) inName(name string) string {
	return w.in(name, func(replacement) bool { return true })
}

// inText returns the withdrawn word that documentation has, or "".
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

// split cuts a name or a text into words in small letters: at capitals, and at whatever is
// no letter. A run of capitals is one word: HTTPAddr is http and addr.
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
