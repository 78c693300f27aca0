// Package operator implements the operator's side: reading and checking
// declarations, publishing them as the configuration in force, and showing
// what the fleet does and did.
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

// FileName is the name of a declaration file.
const FileName = "quetzalglade.ini"

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

// Collect reads and checks all declaration files below the directories. Every
// fault of every file is returned at once, as settings.Faults. Documents are
// named by the path of their file below its directory.
func Collect(dirs []string) ([]config.Document, error) {
	c := &collector{seen: map[string]position{}}
	for _, dir := range dirs {
		if err := c.directory(dir); err != nil {
			return nil, err
		}
	}
	if len(c.docs) == 0 {
		return nil, errors.Newf("no %s below %s", FileName, strings.Join(dirs, ", "))
	}
	c.checkReferences()
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	return c.docs, nil
}

// position is where a section stands.
type position struct {
	file string
	line int
}

// collector gathers documents and faults over all files.
type collector struct {
	docs   []config.Document
	faults settings.Faults
	// seen holds the sections of all files by name.
	seen map[string]position
	refs []reference
}

// reference is a workspace's mention of a service.
type reference struct {
	at      position
	service string
}

func (c *collector) fault(at position, format string, args ...any) {
	c.faults = append(c.faults, settings.Fault{File: at.file, Line: at.line, Message: fmt.Sprintf(format, args...)})
}

func (c *collector) directory(dir string) error {
	files, err := find(dir)
	if err != nil {
		return err
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return errors.Wrap(err, "read declaration")
		}
		name, err := filepath.Rel(filepath.Dir(filepath.Clean(dir)), file)
		if err != nil {
			name = file
		}
		c.file(filepath.ToSlash(name), file, data)
	}
	return nil
}

func find(dir string) ([]string, error) {
	var files []string
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if !d.IsDir() && d.Name() == FileName {
			files = append(files, path)
		}
		return nil
	})
	sort.Strings(files)
	return files, errors.Wrap(err, "find declarations")
}

func (c *collector) file(name, file string, data []byte) {
	sections, faults := settings.ReadSections(file, data)
	c.faults = append(c.faults, faults...)
	doc := config.Document{Name: name}
	for i := range sections {
		sec := &sections[i]
		at := position{file: file, line: sec.Line}
		if first, ok := c.seen[sec.Name]; ok {
			c.fault(at, "[%s] stands here and at %s:%d", sec.Name, first.file, first.line)
			continue
		}
		c.seen[sec.Name] = at
		c.section(&doc, sec, at)
	}
	c.docs = append(c.docs, doc)
}

func (c *collector) section(doc *config.Document, sec *settings.Section, at position) {
	kind, name, ok := strings.Cut(sec.Name, " ")
	switch {
	case ok && kind == "service":
		doc.Services = append(doc.Services, c.service(sec, name, at))
	case ok && kind == "workspace":
		doc.Workspaces = append(doc.Workspaces, c.workspace(sec, name, at))
	default:
		c.fault(at, "section [%s] is neither [service NAME] nor [workspace NAME]", sec.Name)
	}
}

func (c *collector) service(sec *settings.Section, name string, at position) config.Service {
	var k serviceKeys
	c.faults = append(c.faults, sec.Decode(&k)...)
	c.checkService(&k, name, at)
	return config.Service{
		Name: name, Kind: config.Kind(k.Kind), Model: k.Model, Adapter: k.Adapter, Role: k.Role,
		Priority: k.Priority, Short: k.Short, IdempotentMethods: k.Idempotent, OnceMethods: k.Once,
		MaxTokens: k.MaxTokens, MaxBody: k.MaxBody,
		QueueMillis: k.Queue.Milliseconds(), TimeoutMillis: k.Timeout.Milliseconds(), ResumeMillis: k.Resume.Milliseconds(),
	}
}

func (c *collector) workspace(sec *settings.Section, name string, at position) config.Workspace {
	k := workspaceKeys{Weight: 1}
	c.faults = append(c.faults, sec.Decode(&k)...)
	c.checkWorkspace(&k, name, at)
	for _, s := range k.Services {
		c.refs = append(c.refs, reference{at: at, service: s})
	}
	return config.Workspace{Name: name, Weight: k.Weight, KeyHashes: k.KeyHashes, Services: k.Services, MaxConcurrent: k.MaxConcurrent}
}
