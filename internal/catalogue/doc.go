// Package catalogue holds the operators' desired state: customers, pools and their targets.
//
// The platform publishes the catalogue as one YAML document. Parse checks it strictly and names each
// wrong field by its path. A document is accepted only as a whole; what is refused changes nothing.
package catalogue
