// Package catalogue holds the operators' desired state: customers, pools and their targets.
//
// The platform publishes the catalogue as one YAML document. Parse validates it strictly and reports each
// invalid field by its path. A document is accepted or rejected as a whole; a rejected document changes nothing.
package catalogue
