"""Translation between the product and the users' platform.

The platform's wire names are decoded here, once, into types of the
product. The package makes no decisions, and no other package uses these
names.
"""
