// Package atomicfile replaces small files as a whole. It does not sync them: a file that is replaced outlasts a kill
// of the process, but not the loss of power.
package atomicfile

import "os"

// Write puts a text in the place of the file at path, whole or not at all. While it writes, a file of that name with
// ".new" after it stands beside it. The error is of the os package.
func Write(path string, data []byte) error {
	replacement := path + ".new"
	err := os.WriteFile(replacement, data, 0o600)
	if err == nil {
		err = os.Rename(replacement, path)
	}
	if err != nil {
		os.Remove(replacement) // half a file must not count against a limit on the folder
	}
	return err
}
