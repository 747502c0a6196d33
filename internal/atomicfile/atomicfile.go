// Package atomicfile replaces small files atomically. It does not sync them: a replaced file survives a kill of the
// process but not a power failure.
package atomicfile

import "os"

// Write atomically replaces the content of the file at path, or creates the file. It writes a temporary file with the
// suffix ".new" in the same folder and renames it. Errors are those of package os.
func Write(path string, data []byte) error {
	replacement := path + ".new"
	err := os.WriteFile(replacement, data, 0o600)
	if err == nil {
		err = os.Rename(replacement, path)
	}
	if err != nil {
		os.Remove(replacement) // an incomplete file must not count towards a size limit on the folder
	}
	return err
}
