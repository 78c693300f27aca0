package settings

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Fault is one error in an INI file.
type Fault struct {
	File    string
	Line    int
	Message string
}

// String formats the fault as "file:line: message".
func (f Fault) String() string { return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Message) }

// Faults are all errors of one or more files.
type Faults []Fault

// Error implements error, one fault a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// Key is one "name = value" of a section.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Section is one section of an INI file.
type Section struct {
	File string
	Name string
	Line int
	Keys []Key
}

// ReadSections splits INI text into sections. Sections and keys that stand
// twice, and keys before the first section, are faults.
func ReadSections(file string, data []byte) ([]Section, Faults) {
	parsed, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "="}, data)
	if err != nil {
		return nil, Faults{{File: file, Message: errors.UnwrapAll(err).Error()}}
	}
	lines, faults := indexLines(file, data)
	var out []Section
	for _, sec := range parsed.Sections() {
		s := Section{File: file, Name: sec.Name(), Line: lines[lineKey{sec.Name(), ""}]}
		for _, key := range sec.Keys() {
			s.Keys = append(s.Keys, Key{Name: key.Name(), Value: key.String(), Line: lines[lineKey{sec.Name(), key.Name()}]})
		}
		if sec.Name() != ini.DefaultSection {
			out = append(out, s)
			continue
		}
		for _, k := range s.Keys {
			faults = append(faults, Fault{File: file, Line: k.Line, Message: fmt.Sprintf("key %q stands before any section", k.Name)})
		}
	}
	return out, faults
}

type lineKey struct{ section, key string }

// indexLines finds the line of every section and key, counted from 1.
func indexLines(file string, data []byte) (map[lineKey]int, Faults) {
	lines := map[lineKey]int{}
	var faults Faults
	section := ini.DefaultSection
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		at := lineKey{section: section}
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
			continue
		case line[0] == '[':
			section = strings.TrimSpace(strings.Trim(line, "[]"))
			at = lineKey{section: section}
		default:
			name, _, _ := strings.Cut(line, "=")
			at.key = strings.TrimSpace(name)
		}
		if first, ok := lines[at]; ok {
			faults = append(faults, Fault{File: file, Line: i + 1, Message: fmt.Sprintf("%q stands here and on line %d", line, first)})
			continue
		}
		lines[at] = i + 1
	}
	return lines, faults
}

// Decode sets the fields of dst, a pointer to a structure with `ini` tags,
// from the section's keys. Unknown keys and malformed values are faults.
func (s *Section) Decode(dst any) Faults {
	return s.decode(reflect.ValueOf(dst).Elem())
}

func (s *Section) decode(dst reflect.Value) Faults {
	var faults Faults
	fields := fieldsByKey(dst)
	for _, key := range s.Keys {
		field, ok := fields[key.Name]
		if !ok {
			msg := fmt.Sprintf("unknown key %q in [%s]%s", key.Name, s.Name, hint(key.Name, fields))
			faults = append(faults, Fault{File: s.File, Line: key.Line, Message: msg})
			continue
		}
		if err := set(field, key.Value); err != nil {
			msg := fmt.Sprintf("%s = %q: %v", key.Name, key.Value, err)
			faults = append(faults, Fault{File: s.File, Line: key.Line, Message: msg})
		}
	}
	return faults
}
