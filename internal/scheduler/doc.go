// Package scheduler places requests on targets and admits them. It joins the
// router's view of the fleet with the decisions of package pool and implements
// filter.Scheduler.
package scheduler
