"""What only translates between the product and the users' platform.

Names on the platform's wire are decoded here, once, into types of the
product. Nothing here decides, and nothing outside knows these names.
"""
