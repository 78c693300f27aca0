package settings

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// FileError is an error in an INI file. Lines are counted from 1; Line is 0 if the
// line is unknown.
type FileError struct {
	File    string
	Line    int
	Message string
}

// String formats the error as "file:line: message".
func (f FileError) String() string { return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Message) }

// FileErrors holds the errors of one or more INI files.
type FileErrors []FileError

// Error implements error. Each FileError is a line of the text.
func (f FileErrors) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// Key is a "name = value" line of a section.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Section is a section of an INI file. Lines are counted from 1.
type Section struct {
	File string
	Name string
	Line int
	Keys []Key
}

// ReadSections splits INI text into sections. Duplicate sections, duplicate keys
// and keys before the first section are errors. file is the file name for the
// sections and errors.
func ReadSections(file string, data []byte) ([]Section, FileErrors) {
	parsed, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "="}, data)
	if err != nil {
		return nil, FileErrors{{File: file, Message: errors.UnwrapAll(err).Error()}}
	}
	lines, faults := indexLines(file, data)
	var sections []Section
	for _, parsedSection := range parsed.Sections() {
		section := Section{File: file, Name: parsedSection.Name(), Line: lines[lineKey{parsedSection.Name(), ""}]}
		for _, key := range parsedSection.Keys() {
			section.Keys = append(section.Keys, Key{Name: key.Name(), Value: key.String(), Line: lines[lineKey{parsedSection.Name(), key.Name()}]})
		}
		if parsedSection.Name() != ini.DefaultSection {
			sections = append(sections, section)
			continue
		}
		for _, k := range section.Keys {
			faults = append(faults, FileError{File: file, Line: k.Line, Message: fmt.Sprintf("key %q is not in a section", k.Name)})
		}
	}
	return sections, faults
}

// lineKey identifies the line of a key, or of a section header if key is empty.
type lineKey struct{ section, key string }

// indexLines returns the line numbers of all section headers and keys, counted from
// 1. If a header or key occurs several times, it returns the first line and an error
// for each of the others.
func indexLines(file string, data []byte) (map[lineKey]int, FileErrors) {
	lines := map[lineKey]int{}
	var faults FileErrors
	section := ini.DefaultSection
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		id := lineKey{section: section}
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
			continue
		case line[0] == '[':
			section = strings.TrimSpace(strings.Trim(line, "[]"))
			id = lineKey{section: section}
		default:
			name, _, _ := strings.Cut(line, "=")
			id.key = strings.TrimSpace(name)
		}
		if firstLine, ok := lines[id]; ok {
			faults = append(faults, FileError{File: file, Line: i + 1, Message: fmt.Sprintf("duplicate %q; first on line %d", line, firstLine)})
			continue
		}
		lines[id] = i + 1
	}
	return lines, faults
}

// Decode sets the fields of dst, a pointer to a struct with ini tags, from the
// section's keys. Unknown keys and invalid values are errors.
func (s *Section) Decode(dst any) FileErrors {
	return s.decode(reflect.ValueOf(dst).Elem())
}

func (s *Section) decode(dst reflect.Value) FileErrors {
	var faults FileErrors
	fields := fieldsByKey(dst)
	for _, key := range s.Keys {
		field, ok := fields[key.Name]
		if !ok {
			message := fmt.Sprintf("unknown key %q in [%s]%s", key.Name, s.Name, hint(key.Name, fields))
			faults = append(faults, FileError{File: s.File, Line: key.Line, Message: message})
			continue
		}
		if err := setField(field, key.Value); err != nil {
			message := fmt.Sprintf("%s = %q: %v", key.Name, key.Value, err)
			faults = append(faults, FileError{File: s.File, Line: key.Line, Message: message})
		}
	}
	return faults
}
