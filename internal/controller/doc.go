// Package controller holds reconcilers that bring the world outside to the
// committed configuration. They are level-triggered: a key says what to look
// at, never what happened, and each pass reads the present state anew.
package controller
