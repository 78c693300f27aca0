// Package settings reads INI files: the settings of a process, which it decodes
// into a typed struct, and sections in general. The fields of a settings struct
// are structs, one for each section, whose fields are the keys. Both levels have
// the tag `ini:"name"`, and keys also have the tag `help:"text"`.
package settings

import (
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Load reads the file at path into dst, a pointer to a settings struct that holds
// the defaults. It returns all errors of the file together, as FileErrors.
func Load(path string, dst any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return Parse(path, data, dst)
}

// Parse reads INI text into dst, a pointer to a settings struct that holds the
// defaults. It returns all errors together, as FileErrors; they use name as the
// file name.
func Parse(name string, data []byte, dst any) error {
	sections, faults := ReadSections(name, data)
	fields := fieldsByKey(reflect.ValueOf(dst).Elem())
	for i := range sections {
		section := &sections[i]
		field, ok := fields[section.Name]
		if !ok {
			message := fmt.Sprintf("unknown section [%s]%s", section.Name, hint(section.Name, fields))
			faults = append(faults, FileError{File: name, Line: section.Line, Message: message})
			continue
		}
		faults = append(faults, section.decode(field)...)
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

// fieldsByKey returns the fields of a struct by their ini tag.
func fieldsByKey(v reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		if key := v.Type().Field(i).Tag.Get("ini"); key != "" {
			fields[key] = v.Field(i)
		}
	}
	return fields
}

// hint returns a text that suggests a field name similar to name, or "".
func hint(name string, fields map[string]reflect.Value) string {
	for key := range fields {
		if Similar(name, key) {
			return fmt.Sprintf(" (did you mean %q?)", key)
		}
	}
	return ""
}

// setField parses text as the type of the field and sets the field.
func setField(field reflect.Value, text string) error {
	switch field.Interface().(type) {
	case time.Duration:
		duration, err := time.ParseDuration(text)
		if err != nil {
			return errors.New("invalid duration: must be a number with a unit, such as 500ms or 3s")
		}
		if duration < 0 {
			return errors.New("duration must not be negative")
		}
		field.SetInt(int64(duration))
	case string:
		field.SetString(text)
	case []string:
		field.Set(reflect.ValueOf(splitList(text)))
	case bool:
		value, err := parseBool(text)
		if err != nil {
			return err
		}
		field.SetBool(value)
	case int, int64:
		return setInt(field, text)
	case float64:
		return setFloat(field, text)
	default:
		return errors.Newf("unsupported settings type %s", field.Type())
	}
	return nil
}

func setInt(field reflect.Value, text string) error {
	var n int64
	if _, err := fmt.Sscanf(text, "%d", &n); err != nil || fmt.Sprint(n) != text {
		return errors.New("invalid integer")
	}
	field.SetInt(n)
	return nil
}

func setFloat(field reflect.Value, text string) error {
	var f float64
	if _, err := fmt.Sscanf(text, "%g", &f); err != nil {
		return errors.New("invalid number")
	}
	field.SetFloat(f)
	return nil
}

func parseBool(text string) (bool, error) {
	switch text {
	case "yes", "true", "on":
		return true, nil
	case "no", "false", "off":
		return false, nil
	}
	return false, errors.New("must be yes or no")
}

func splitList(text string) []string {
	var parts []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}

// Print writes the settings in src, a settings struct or a pointer to one, as INI
// text. The help text of each key precedes it as a comment.
func Print(w io.Writer, src any) error {
	v := reflect.Indirect(reflect.ValueOf(src))
	for i := range v.NumField() {
		section := v.Type().Field(i).Tag.Get("ini")
		if section == "" {
			continue
		}
		if _, err := fmt.Fprintf(w, "[%s]\n", section); err != nil {
			return err
		}
		if err := printSection(w, v.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

func printSection(w io.Writer, v reflect.Value) error {
	for i := range v.NumField() {
		tag := v.Type().Field(i).Tag
		if tag.Get("ini") == "" {
			continue
		}
		if _, err := fmt.Fprintf(w, "# %s\n%s = %s\n\n", tag.Get("help"), tag.Get("ini"), formatValue(v.Field(i))); err != nil {
			return err
		}
	}
	return nil
}

// formatValue returns a field's value as INI text.
func formatValue(v reflect.Value) string {
	switch value := v.Interface().(type) {
	case []string:
		return strings.Join(value, ", ")
	case bool:
		if value {
			return "yes"
		}
		return "no"
	default:
		return fmt.Sprint(value)
	}
}

// Similar reports whether a is a likely misspelling of b: the two differ, and the
// edit distance is at most 2 and less than half the length of b. Upper and lower
// case are equal in the distance.
func Similar(a, b string) bool {
	distance := editDistance(strings.ToLower(a), strings.ToLower(b))
	return a != b && distance <= 2 && 2*distance < len(b)
}

// editDistance returns the Levenshtein distance of two strings in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, diagonal+cost)
			diagonal = row[j]
			row[j] = next
		}
	}
	return row[len(b)]
}
