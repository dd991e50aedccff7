"""Stand-ins for the platform and the upstreams, a lab, a demo and a load tool."""
