// Package settings reads the INI settings of a process into a typed structure
// and checks every key. Fields carry the tags `ini:"key"` and `help:"text"`;
// nested structures are sections.
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

// Load reads the file at path into dst, a pointer to a structure that holds
// the defaults. All faults are reported together, with file and line.
func Load(path string, dst any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return Parse(path, data, dst)
}

// Parse reads INI text into dst, a pointer to a structure of sections. The
// name is used in messages.
func Parse(name string, data []byte, dst any) error {
	sections, faults := ReadSections(name, data)
	fields := fieldsByKey(reflect.ValueOf(dst).Elem())
	for i := range sections {
		sec := &sections[i]
		field, ok := fields[sec.Name]
		if !ok {
			msg := fmt.Sprintf("unknown section [%s]%s", sec.Name, hint(sec.Name, fields))
			faults = append(faults, Fault{File: name, Line: sec.Line, Message: msg})
			continue
		}
		faults = append(faults, sec.decode(field)...)
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

func fieldsByKey(v reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		if key := v.Type().Field(i).Tag.Get("ini"); key != "" {
			fields[key] = v.Field(i)
		}
	}
	return fields
}

func hint(name string, fields map[string]reflect.Value) string {
	for key := range fields {
		if Similar(name, key) {
			return fmt.Sprintf(" (did you mean %q?)", key)
		}
	}
	return ""
}

func set(field reflect.Value, text string) error {
	switch field.Interface().(type) {
	case time.Duration:
		d, err := time.ParseDuration(text)
		if err != nil {
			return errors.New("not a duration such as 500ms or 3s")
		}
		if d < 0 {
			return errors.New("negative duration")
		}
		field.SetInt(int64(d))
	case string:
		field.SetString(text)
	case []string:
		field.Set(reflect.ValueOf(splitList(text)))
	case bool:
		b, err := parseBool(text)
		if err != nil {
			return err
		}
		field.SetBool(b)
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
		return errors.New("not a whole number")
	}
	field.SetInt(n)
	return nil
}

func setFloat(field reflect.Value, text string) error {
	var f float64
	if _, err := fmt.Sscanf(text, "%g", &f); err != nil {
		return errors.New("not a number")
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
	return false, errors.New("not yes or no")
}

func splitList(text string) []string {
	var out []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

// Print writes the settings in src, a structure, as commented INI text.
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
		if _, err := fmt.Fprintf(w, "# %s\n%s = %s\n\n", tag.Get("help"), tag.Get("ini"), format(v.Field(i))); err != nil {
			return err
		}
	}
	return nil
}

func format(v reflect.Value) string {
	switch x := v.Interface().(type) {
	case []string:
		return strings.Join(x, ", ")
	case bool:
		if x {
			return "yes"
		}
		return "no"
	default:
		return fmt.Sprint(x)
	}
}

// Similar reports whether a is a likely misspelling of b: at most two edits,
// and fewer than half of b's letters.
func Similar(a, b string) bool {
	d := editDistance(strings.ToLower(a), strings.ToLower(b))
	return a != b && d <= 2 && 2*d < len(b)
}

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
