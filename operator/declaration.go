// Package operator implements the functions of the operators' command line:
// reading and checking declaration files, publishing them as the current
// configuration, and querying and draining the processes of the fleet.
package operator

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/settings"
)

// DeclarationFileName is the name of a declaration file.
const DeclarationFileName = "quetzalglade.ini"

// serviceKeys are the keys of a [service NAME] section.
type serviceKeys struct {
	Kind       string        `ini:"kind"`
	Model      string        `ini:"model"`
	Adapter    string        `ini:"adapter"`
	Role       string        `ini:"role"`
	Priority   int           `ini:"priority"`
	Short      bool          `ini:"short"`
	Idempotent []string      `ini:"idempotent"`
	Once       []string      `ini:"once"`
	MaxTokens  int           `ini:"max_tokens"`
	MaxBody    int64         `ini:"max_body"`
	Queue      time.Duration `ini:"queue"`
	Timeout    time.Duration `ini:"timeout"`
	Resume     time.Duration `ini:"resume"`
}

// workspaceKeys are the keys of a [workspace NAME] section.
type workspaceKeys struct {
	Weight        int      `ini:"weight"`
	KeyHashes     []string `ini:"key_hashes"`
	Services      []string `ini:"services"`
	MaxConcurrent int      `ini:"max_concurrent"`
}

// ReadDeclarations reads and checks all declaration files below dirs. If the
// declarations have errors, it returns those of all files together as
// settings.FileErrors. A document's name is the path of its file, starting with the
// last element of the directory in dirs.
func ReadDeclarations(dirs []string) ([]config.Document, error) {
	r := &declarationReader{sections: map[string]position{}}
	for _, dir := range dirs {
		if err := r.readDirectory(dir); err != nil {
			return nil, err
		}
	}
	if len(r.docs) == 0 {
		return nil, errors.Newf("no file %s found below %s", DeclarationFileName, strings.Join(dirs, ", "))
	}
	r.checkReferences()
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	return r.docs, nil
}

// position is the file and line of a section header. Lines are counted from 1.
type position struct {
	file string
	line int
}

// declarationReader accumulates the documents and errors of all files.
type declarationReader struct {
	docs   []config.Document
	faults settings.FileErrors
	// sections holds the position of each section by its name.
	sections    map[string]position
	serviceRefs []reference
}

// reference is the name of a service in a workspace's list of services.
type reference struct {
	pos     position
	service string
}

// addFault records an error at pos.
func (r *declarationReader) addFault(pos position, format string, args ...any) {
	r.faults = append(r.faults, settings.FileError{File: pos.file, Line: pos.line, Message: fmt.Sprintf(format, args...)})
}

// readDirectory reads all declaration files below dir.
func (r *declarationReader) readDirectory(dir string) error {
	files, err := findFiles(dir)
	if err != nil {
		return err
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return errors.Wrap(err, "read declaration file")
		}
		name, err := filepath.Rel(filepath.Dir(filepath.Clean(dir)), file)
		if err != nil {
			name = file
		}
		r.readFile(filepath.ToSlash(name), file, data)
	}
	return nil
}

// findFiles returns the paths of the declaration files below dir, sorted.
func findFiles(dir string) ([]string, error) {
	var files []string
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if !d.IsDir() && d.Name() == DeclarationFileName {
			files = append(files, path)
		}
		return nil
	})
	sort.Strings(files)
	return files, errors.Wrap(err, "find declaration files")
}

// readFile reads the text of a declaration file into a document with the given
// name.
func (r *declarationReader) readFile(name, file string, data []byte) {
	sections, faults := settings.ReadSections(file, data)
	r.faults = append(r.faults, faults...)
	doc := config.Document{Name: name}
	for i := range sections {
		sec := &sections[i]
		pos := position{file: file, line: sec.Line}
		if first, ok := r.sections[sec.Name]; ok {
			r.addFault(pos, "duplicate section [%s]; first declared at %s:%d", sec.Name, first.file, first.line)
			continue
		}
		r.sections[sec.Name] = pos
		r.readSection(&doc, sec, pos)
	}
	r.docs = append(r.docs, doc)
}

// readSection adds the service or workspace of a section to doc.
func (r *declarationReader) readSection(doc *config.Document, sec *settings.Section, pos position) {
	kind, name, ok := strings.Cut(sec.Name, " ")
	switch {
	case ok && kind == "service":
		doc.Services = append(doc.Services, r.readService(sec, name, pos))
	case ok && kind == "workspace":
		doc.Workspaces = append(doc.Workspaces, r.readWorkspace(sec, name, pos))
	default:
		r.addFault(pos, "section [%s] is neither [service NAME] nor [workspace NAME]", sec.Name)
	}
}

func (r *declarationReader) readService(sec *settings.Section, name string, pos position) config.Service {
	var keys serviceKeys
	r.faults = append(r.faults, sec.Decode(&keys)...)
	r.checkService(&keys, name, pos)
	return config.Service{
		Name: name, Kind: config.Kind(keys.Kind), Model: keys.Model, Adapter: keys.Adapter, Role: keys.Role,
		Priority: keys.Priority, Short: keys.Short, IdempotentMethods: keys.Idempotent, AtMostOnceMethods: keys.Once,
		MaxTokens: keys.MaxTokens, MaxBodyBytes: keys.MaxBody,
		QueueMillis: keys.Queue.Milliseconds(), TimeoutMillis: keys.Timeout.Milliseconds(), ResumeMillis: keys.Resume.Milliseconds(),
	}
}

func (r *declarationReader) readWorkspace(sec *settings.Section, name string, pos position) config.Workspace {
	keys := workspaceKeys{Weight: 1}
	r.faults = append(r.faults, sec.Decode(&keys)...)
	r.checkWorkspace(&keys, name, pos)
	for _, service := range keys.Services {
		r.serviceRefs = append(r.serviceRefs, reference{pos: pos, service: service})
	}
	return config.Workspace{Name: name, Weight: keys.Weight, KeyHashes: keys.KeyHashes, Services: keys.Services, MaxConcurrent: keys.MaxConcurrent}
}
