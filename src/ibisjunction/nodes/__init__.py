"""Processes of a deployment with separate entry and control VMs."""
