// Package ggstoml reads the TOML of the operators' document and of the
// processes' settings, strictly: an unknown key is a failure, and failures
// name file or section, key and line.
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
// Keys are in camel case, durations are text such as "250ms", and addresses
// are text such as "127.0.0.1:7001". Wire types stay in this package and are
// mapped by hand to the domain's types, which carry no tags.
package ggstoml
