"""One process of the gateway: what joins its parts, carries out their effects and answers the operators' calls."""
