package explain

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// Scan passes each log line of a file to add, without keeping any, and returns the number of lines
// that can't be parsed, including those beyond 1 MiB. The error is that of the reader.
func Scan(file string, r io.Reader, add func(Line)) (unreadable int, err error) {
	in := bufio.NewReaderSize(r, maxLineBytes)
	for n := 1; ; n++ {
		text, err := in.ReadSlice('\n')
		tooLong := errors.Is(err, bufio.ErrBufferFull)
		for errors.Is(err, bufio.ErrBufferFull) {
			_, err = in.ReadSlice('\n')
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return unreadable, err
		}
		if text = bytes.TrimSpace(text); tooLong {
			unreadable++
		} else if len(text) > 0 {
			if line, invalid := parse(text); invalid != nil {
				unreadable++
			} else {
				line.File, line.Number = file, n
				add(line)
			}
		}
		if err != nil {
			return unreadable, nil
		}
	}
}
