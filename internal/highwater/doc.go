// Package highwater keeps the highest of a sequence of numbers that arrive in any order, such as epochs and versions.
package highwater
