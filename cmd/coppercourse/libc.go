// The program is linked against the system's C library, which the platform that
// it is deployed on asks for.
package main

import "C"
