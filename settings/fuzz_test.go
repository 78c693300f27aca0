package settings

import "testing"

// FuzzReadSections guards against panics on malformed INI text and against sections
// without a file name, which errors refer to.
func FuzzReadSections(f *testing.F) {
	for _, seed := range []string{"", "[a]\nk = v\n", "k = v\n", "[a]\n[a]\n", "[a\n", "[a]\nk\n", "[a]\nk = \"\"\"x\n", "\xff[", "[a]\nk = v ; c\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		sections, faults := ReadSections("file.ini", data)
		for i := range sections {
			if sections[i].File != "file.ini" {
				t.Fatalf("section without a file: %+v", sections[i])
			}
		}
		_ = faults.Error()
	})
}
