package code

import (
	"github.com/ansel1/merry/v2"
)

type codeKey struct{}

// Error returns an error with code c and the given text.
func Error(c Code, text string) error {
	return merry.New(text, merry.WithValue(codeKey{}, c), merry.WithHTTPCode(c.Status()), merry.NoCaptureStack())
}

// Errorf returns an error with code c and the formatted text.
func Errorf(c Code, format string, args ...any) error {
	args = append(args, merry.WithValue(codeKey{}, c), merry.WithHTTPCode(c.Status()), merry.NoCaptureStack())
	return merry.Errorf(format, args...)
}

// Of returns the code of err, or fallback if err has no code.
func Of(err error, fallback Code) Code {
	if c, ok := merry.Value(err, codeKey{}).(Code); ok {
		return c
	}
	return fallback
}
