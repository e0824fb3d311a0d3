// Package ggstoml decodes the TOML of the operators' document and of the processes'
// settings. Decoding is strict: an unknown key is an error. Errors contain the file or
// section, the key and the line.
//
// # Usage
//
//	s, err := ggstoml.Codec{}.ParseSection("market/cr", text)
//	var e *ggsdocument.SectionError // e.Section, e.Key, e.Line
//
//	var w settings // with toml tags; ggstoml.Duration and netip types
//	err := ggstoml.ReadSettings("gateway.toml", &w)
//	var d *ggstoml.DecodeError // d.Source, d.Key, d.Line
//
// Keys are in camel case, durations are text such as "250ms", and addresses are text
// such as "127.0.0.1:7001". The struct types with TOML tags are private to this package.
// Explicit code converts them to the types of core, which have no tags.
//
// The package has no locks.
package ggstoml
